package cairnline.membership;

import java.util.Arrays;
import java.util.List;

/** An immutable view of all members at one moment. Taking it copies only references; it can be read on any thread. */
public final class MembershipView {
    private final long takenAt;
    private final Member[] members;

    MembershipView(long takenAt, Member[] members) {
        this.takenAt = takenAt;
        this.members = members;
    }

    /** Returns when the view was taken, in microseconds on the program's clock. */
    public long takenAt() {
        return takenAt;
    }

    /** Returns the number of engines in the view. */
    public int size() {
        return members.length;
    }

    /** Returns the entries to be written to the stored engine list. */
    public List<StoredEngine> storedEngines() {
        return Arrays.stream(members).map(Member::toStoredEngine).toList();
    }
}
