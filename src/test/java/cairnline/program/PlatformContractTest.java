package cairnline.program;

/** The rule checks on this wire. */
class PlatformContractTest extends ProtocolContract {
    @Override
    ProtocolFixture wire(int mostClients) {
        return new PlatformProtocolFixture(mostClients);
    }
}
