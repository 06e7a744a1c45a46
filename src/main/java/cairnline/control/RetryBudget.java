package cairnline.control;

import cairnline.control.ControlApi.SafetyRules;

/**
 * Limits the retries of a front within a window to an allowance plus a share of its requests; plain state of
 * {@link Control}. Without an allowance in the safety rules there is no limit.
 */
final class RetryBudget {
    /** Events this near the edge of the window count as inside or outside, whichever is stricter. */
    private static final long EDGE_TOLERANCE_NANOS = 20_000_000L;

    private final SafetyRules rules;
    private final SlidingWindow requests;
    private final SlidingWindow retries;

    RetryBudget(SafetyRules rules) {
        this.rules = rules;
        this.requests = new SlidingWindow(rules.retryWindow() - EDGE_TOLERANCE_NANOS);
        this.retries = new SlidingWindow(rules.retryWindow() + EDGE_TOLERANCE_NANOS);
    }

    private boolean isUnlimited() {
        return rules.retryAllowance() < 0;
    }

    void recordRequest(long now) {
        if (!isUnlimited()) {
            requests.add(now, 1);
        }
    }

    void recordRetry(long now) {
        if (!isUnlimited()) {
            retries.add(now, 1);
        }
    }

    /** Whether another retry is allowed; takes both edges of the window at their stricter end. */
    boolean hasRoom(long now) {
        long since = now - rules.retryWindow();
        return isUnlimited() || retries.sumSince(since - EDGE_TOLERANCE_NANOS) + 1
                <= rules.retryAllowance()
                + rules.retriesPerRequest() * requests.sumSince(since + EDGE_TOLERANCE_NANOS);
    }

    /** Returns the number of events held. */
    int size() {
        return requests.size() + retries.size();
    }
}
