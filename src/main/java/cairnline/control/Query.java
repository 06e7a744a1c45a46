package cairnline.control;

import cairnline.control.ControlApi.Request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A request that is open, or closed with an attempt still out; plain state of {@link Control}. */
final class Query {
    static final Comparator<Query> BY_DEADLINE =
            Comparator.<Query>comparingLong(q -> q.aimAt).thenComparingLong(q -> q.sequence);
    static final Comparator<Query> BY_EXPIRY =
            Comparator.<Query>comparingLong(q -> q.deadline).thenComparingLong(q -> q.sequence);

    final String id;
    final RequestClass kin;
    final long arrivedAt;
    /** When its client first asked, as far as known. */
    final long askedAt;
    final long deadline;
    final long aimAt;
    final long sequence;
    final double toldWork;
    /** Work in means of the class. */
    final double size;
    /** As told, or as it turned out. */
    double memory;
    final int tables;
    final List<Attempt> attempts = new ArrayList<>(2);
    int attemptsOut;
    /** Engine and send time of the first attempt that may have run. */
    EngineEstimate firstDoubt;
    long firstDoubtAt;
    /** Engine that has just failed this request. */
    EngineEstimate avoid;
    /** How often engines failed it, and the first that did. */
    int errors;
    EngineEstimate failedBy;
    KeyQueue line;
    /** It was called off behind a load. */
    boolean moved;
    /** Its tenant asked more than its share when it came. */
    boolean overShare;
    boolean closed;

    Query(Request r, RequestClass kin, long now, long sequence, double work, double size,
          long waited) {
        this.id = r.id();
        this.kin = kin;
        this.arrivedAt = now;
        this.askedAt = now - waited;
        this.deadline = now + r.timeout();
        this.toldWork = r.work();
        this.size = size;
        this.aimAt = askedAt + kin.type.latencyTarget() + (long) (kin.type.latencyTargetWorkFactor() * work / kin.type.threads());
        this.sequence = sequence;
        this.memory = r.memory();
        this.tables = r.tableGroup();
    }

    /** One send of a request. */
    static final class Attempt {
        final Query query;
        final EngineEstimate host;
        final int number;
        final long sentAt;
        final double prediction;
        boolean live = true;
        double granted;
        boolean spilt;
        /** When it was last heard of, and for how long it stood in a line or behind a load. */
        long heardAt, stood;
        /** Whether it stands there, told once, and the share done when last told. */
        boolean stands;
        double done;
        /** When it ends by its own progress; 0 if it has told none. */
        long endsAt;

        Attempt(Query query, EngineEstimate host, int number, long sentAt, double prediction) {
            this.query = query;
            this.host = host;
            this.number = number;
            this.sentAt = sentAt;
            this.heardAt = sentAt;
            this.prediction = prediction;
        }
    }

    /** The requests of one key, in the order taken. */
    static final class KeyQueue {
        final long key;
        final ArrayDeque<Query> waiting = new ArrayDeque<>(2);
        int attemptsOut;
        long restUntil;

        KeyQueue(long key) {
            this.key = key;
        }
    }
}
