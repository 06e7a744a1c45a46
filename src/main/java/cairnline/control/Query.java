package cairnline.control;

import cairnline.control.ControlApi.Request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** A request that is open, or closed with an attempt still in flight; plain state of {@link Control}. */
final class Query {
    static final Comparator<Query> BY_LATENCY_TARGET =
            Comparator.<Query>comparingLong(q -> q.latencyTargetAt).thenComparingLong(q -> q.sequence);
    static final Comparator<Query> BY_DEADLINE =
            Comparator.<Query>comparingLong(q -> q.deadline).thenComparingLong(q -> q.sequence);

    final String id;
    final RequestClass requestClass;
    final long arrivedAt;
    /** When the client first sent the request, as far as known: earlier than {@link #arrivedAt} for a retry. */
    final long firstRequestedAt;
    final long deadline;
    final long latencyTargetAt;
    final long sequence;
    /** The client's estimate of the work; 0 if it gave none. */
    final double estimatedWork;
    /** Expected work, as a multiple of the mean work of the class. */
    final double size;
    /** Memory needed: as the client estimated it, or as a spill revealed it. */
    double memory;
    final int tableGroup;
    final List<Attempt> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    /** Engine and send time of the first attempt that may have run. */
    EngineEstimate uncertainEngine;
    long uncertainAt;
    /** The engine that has just failed this request. */
    EngineEstimate engineToAvoid;
    /** Number of errors that engines returned for it, and the first engine that returned one. */
    int errorCount;
    EngineEstimate firstFailedBy;
    KeyQueue keyQueue;
    /** Whether an attempt was cancelled because it waited for a load. */
    boolean cancelledBehindLoad;
    /** Whether its tenant was over its share when the request arrived. */
    boolean overTenantShare;
    boolean closed;

    Query(Request request, RequestClass requestClass, long now, long sequence, double work, double size,
          long waited) {
        this.id = request.id();
        this.requestClass = requestClass;
        this.arrivedAt = now;
        this.firstRequestedAt = now - waited;
        this.deadline = now + request.timeout();
        this.estimatedWork = request.work();
        this.size = size;
        this.latencyTargetAt = firstRequestedAt + requestClass.settings.latencyTarget()
                + (long) (requestClass.settings.latencyTargetWorkFactor() * work / requestClass.settings.threads());
        this.sequence = sequence;
        this.memory = request.memory();
        this.tableGroup = request.tableGroup();
    }

    /** One send of a request to an engine. */
    static final class Attempt {
        final Query query;
        final EngineEstimate engine;
        final int number;
        final long sentAt;
        final double prediction;
        /** The health of the engine's process that was sent the attempt; another one may run when it ends. */
        final EngineHealth health;
        boolean inFlight = true;
        double memoryGrant;
        boolean spilled;
        /** Time of the last status update, and the total time spent waiting in a queue or for a load. */
        long lastStatusAt, waitedFor;
        /** Whether the attempt waits: set by a status update that reports it, cleared once progress advances. */
        boolean waiting;
        /** The completed share that was reported last. */
        double progress;
        /** The end of the attempt projected from its progress; 0 if none was reported. */
        long projectedEndAt;

        Attempt(Query query, EngineEstimate engine, int number, long sentAt, double prediction) {
            this.query = query;
            this.engine = engine;
            this.number = number;
            this.sentAt = sentAt;
            this.lastStatusAt = sentAt;
            this.prediction = prediction;
            this.health = engine.health;
        }

        /** Whether the engine was not restarted since the attempt was sent. */
        boolean isOfCurrentProcess() {
            return engine.health == health;
        }
    }

    /** The requests with the same ordering key, in the order of arrival; they run one at a time. */
    static final class KeyQueue {
        final long orderingKey;
        final ArrayDeque<Query> waiting = new ArrayDeque<>(2);
        int attemptsInFlight;
        long cooldownUntil;
        private boolean deciding;

        KeyQueue(long orderingKey) {
            this.orderingKey = orderingKey;
        }

        /**
         * Decides on the first waiting request, and then on each that has become the first by that. A call from within a
         * decision does nothing, so that a queue of requests that are all refused does not deepen the stack.
         */
        void decideInOrder(Predicate<Query> mayDecide, Consumer<Query> decision) {
            if (deciding) {
                return;
            }
            deciding = true;
            try {
                Query decided = null;
                Query first = waiting.peekFirst();
                while (first != null && first != decided && mayDecide.test(first)) {
                    decision.accept(first);
                    decided = first;
                    first = waiting.peekFirst();
                }
            } finally {
                deciding = false;
            }
        }
    }
}
