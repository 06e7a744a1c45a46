package cairnline.program;

/** Runs the protocol contract against the OData front. */
class ODataContractTest extends ProtocolContract {
    @Override
    ProtocolFixture fixture(int maxClients) {
        return new ODataProtocolFixture(maxClients);
    }
}
