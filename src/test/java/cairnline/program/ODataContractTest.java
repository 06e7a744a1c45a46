package cairnline.program;

/** The rule checks on this wire. */
class ODataContractTest extends ProtocolContract {
    @Override
    ProtocolFixture wire(int mostClients) {
        return new ODataProtocolFixture(mostClients);
    }
}
