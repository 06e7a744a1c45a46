package cairnline.program;

/** The rule checks on this wire. */
class PlatformRulesTest extends RuleChecks {
    @Override
    ProtocolFixture wire(int mostClients) {
        return new PlatformProtocolFixture(mostClients);
    }
}
