package cairnline.program;

/** The rule checks on this wire. */
class PlatformRulesTest extends RuleChecks {
    @Override
    Wire wire() {
        return new PlatformWire();
    }
}
