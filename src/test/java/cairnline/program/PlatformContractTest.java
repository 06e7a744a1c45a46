package cairnline.program;

/** Runs the protocol contract against the platform's protocol. */
class PlatformContractTest extends ProtocolContract {
    @Override
    ProtocolFixture fixture(int maxClients) {
        return new PlatformProtocolFixture(maxClients);
    }
}
