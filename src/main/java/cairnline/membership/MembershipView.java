package cairnline.membership;

import java.util.Arrays;
import java.util.List;

/** All that is believed at one moment: immutable, made in one copy of references, read on any thread. */
public final class MembershipView {
    private final long takenAt;
    private final Member[] members;

    MembershipView(long takenAt, Member[] members) {
        this.takenAt = takenAt;
        this.members = members;
    }

    /** When it was taken, in microseconds. */
    public long takenAt() {
        return takenAt;
    }

    /** The engines in it. */
    public int size() {
        return members.length;
    }

    /** What the disk keeps of it. */
    public List<StoredEngine> remembered() {
        return Arrays.stream(members).map(Member::remembered).toList();
    }
}
