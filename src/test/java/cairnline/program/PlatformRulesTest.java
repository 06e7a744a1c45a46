package cairnline.program;

/** The rule checks on this wire. */
class PlatformRulesTest extends RuleChecks {
    @Override
    Wire wire(int mostClients) {
        return new PlatformWire(mostClients);
    }
}
