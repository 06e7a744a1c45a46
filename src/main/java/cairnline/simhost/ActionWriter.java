package cairnline.simhost;

import cairnline.control.ControlApi.Actions;

import java.util.Base64;

/** Writes the actions of one instance as lines of the protocol. */
final class ActionWriter implements Actions {
    private final StringBuilder out;
    private final String frontField;

    ActionWriter(StringBuilder out, long frontId) {
        this.out = out;
        this.frontField = " frontId=" + frontId;
    }

    private StringBuilder line(String name) {
        return out.append(name).append(frontField);
    }

    private StringBuilder line(String name, String id) {
        return line(name).append(" msgId=").append(id);
    }

    @Override
    public void send(String id, String engine, long timeout) {
        line("ASSIGN", id).append(" engine=").append(engine).append(" capNs=").append(timeout).append('\n');
    }

    @Override
    public void refuse(String id, long retryAfter) {
        line("TURN_AWAY", id).append(" backoffNs=").append(retryAfter).append('\n');
    }

    @Override
    public void fail(String id) {
        line("DROP_REQUEST", id).append('\n');
    }

    @Override
    public void cancel(String id, int attempt) {
        line("ABORT_ATTEMPT", id).append(" attempt=").append(attempt).append('\n');
    }

    @Override
    public void setAttemptOptions(String id, double memory, int priority) {
        line("EQUIP", id).append(" memory=").append(Math.round(memory)).append(" importance=").append(priority)
                .append('\n');
    }

    @Override
    public void setTimer(long delay, long handle) {
        line("WAKE_ME").append(" sleepForNs=").append(delay).append(" handle=").append(handle).append('\n');
    }

    @Override
    public void probe(String engine) {
        line("PROBE").append(" engine=").append(engine).append('\n');
    }

    @Override
    public void broadcast(byte[] message) {
        String text = message.length == 0 ? "-" : Base64.getEncoder().encodeToString(message);
        line("NOTIFY").append(" peer=all contents=").append(text).append('\n');
    }

    @Override
    public void subscribe() {
        line("FOLLOW").append(" want=1\n");
    }

    @Override
    public void log(String text) {
        line("RECORD").append(" what=").append(text.replace('\n', ' ')).append('\n');
    }

    void reportCrash(Throwable cause) {
        String where = cause.getStackTrace().length > 0 ? " at " + cause.getStackTrace()[0] : "";
        line("CRASH").append(" what=").append((cause + where).replace('\n', ' ')).append('\n');
    }
}
