package cairnline.program;

/** The rule checks on this wire. */
class ODataRulesTest extends ProtocolContract {
    @Override
    ProtocolFixture wire(int mostClients) {
        return new ODataProtocolFixture(mostClients);
    }
}
