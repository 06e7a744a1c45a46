package cairnline.routing;

/**
 * The place of one request in the order of its ordering key, obtained from {@link Dispatcher#reservePlace} when the request was
 * received. The request may be submitted much later; until then, or until the place is released, later requests of the key
 * wait. The fields belong to {@link KeyPlaces}.
 */
public final class KeyPlace {
    final long orderingKey;
    /** The request, once it was submitted; null before. */
    OpenRequest request;
    /** Releases the place when its request could not be served in time any more. */
    Timers.Timer expiry;

    KeyPlace(long orderingKey) {
        this.orderingKey = orderingKey;
    }
}
