package cairnline.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The order in which requests with the same ordering key were received, from their receipt until the decision module knows them.
 * A request goes on once all places before its own are either taken by a request that went on, or released.
 *
 * <p>This can't deadlock. All places come from one thread, so they have one order over all keys. A request waits for places of
 * its key that are earlier in that order, and beyond that only for earlier requests of its own connection or batch, whose places
 * are earlier too: whoever waits does so for something earlier, and the earliest waits for nothing. Used only on the
 * dispatcher's thread.
 */
final class KeyPlaces {
    /** The places of each key that no request has used yet, and the requests that wait behind them. */
    private final Map<Long, ArrayDeque<KeyPlace>> placesByKey = new HashMap<>();

    /** Appends a place to those of its key. */
    void add(KeyPlace place) {
        placesByKey.computeIfAbsent(place.orderingKey, key -> new ArrayDeque<>()).addLast(place);
    }

    /** Records that the request of a place was submitted; returns the requests that go on now, in their order. */
    List<OpenRequest> submit(KeyPlace place, OpenRequest request) {
        place.request = request;
        ArrayDeque<KeyPlace> places = placesByKey.get(place.orderingKey);
        if (places == null || !places.contains(place)) {
            // The place expired before, or none was reserved: the request goes on behind the places that there are.
            add(place);
        }
        return takeReady(place.orderingKey);
    }

    /** Gives up a place; returns the requests that go on now, in their order. Does nothing if it is used or released. */
    List<OpenRequest> release(KeyPlace place) {
        ArrayDeque<KeyPlace> places = placesByKey.get(place.orderingKey);
        return places != null && places.remove(place) ? takeReady(place.orderingKey) : List.of();
    }

    private List<OpenRequest> takeReady(long orderingKey) {
        ArrayDeque<KeyPlace> places = placesByKey.get(orderingKey);
        List<OpenRequest> ready = new ArrayList<>();
        while (!places.isEmpty() && places.peekFirst().request != null) {
            ready.add(places.pollFirst().request);
        }
        if (places.isEmpty()) {
            placesByKey.remove(orderingKey);
        }
        return ready;
    }

    /** Returns the number of keys with places. */
    int keyCount() {
        return placesByKey.size();
    }
}
