package cairnline.program;

import cairnline.protocol.Resp;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the file in which the library of {@link FaultShim} recorded what a workload manager wrote to engines. A command counts
 * as written when the operating system had taken its last byte, whenever the stand-in engine was scheduled to read it.
 */
final class RecordedTraffic {
    /** Time, connection number and number of bytes; see {@code struct traffic_record} in faults.c. */
    private static final int RECORD_HEAD_BYTES = 16;
    private static final int MAX_COMMAND_PARTS = 4;
    private static final int MAX_PART_BYTES = 300_000;

    private RecordedTraffic() { }

    /**
     * An attempt that was written to an engine.
     *
     * @param timeLimitMillis how long the workload manager said that it would wait
     * @param writtenAt value of {@link System#nanoTime}, whose clock all processes of a machine share
     */
    record WrittenAttempt(String id, long timeLimitMillis, long writtenAt) { }

    /** Returns all attempts in the file, in the order in which they were written. */
    static List<WrittenAttempt> readAttempts(Path file) throws IOException {
        ByteBuffer records = ByteBuffer.wrap(Files.readAllBytes(file)).order(ByteOrder.nativeOrder());
        Map<Integer, Resp> decoders = new HashMap<>();
        List<WrittenAttempt> attempts = new ArrayList<>();
        while (records.remaining() >= RECORD_HEAD_BYTES) {
            long writtenAt = records.getLong();
            int connection = records.getInt();
            byte[] bytes = new byte[records.getInt()];
            if (records.remaining() < bytes.length) {
                // SIGKILL cut the last record short.
                break;
            }
            records.get(bytes);
            if (!decoders.containsKey(connection) && bytes[0] != '*') {
                // The connection to the control feed.
                continue;
            }
            Resp decoder = decoders.computeIfAbsent(connection, key -> new Resp(MAX_COMMAND_PARTS, MAX_PART_BYTES));
            decoder.feed(bytes, bytes.length);
            for (List<byte[]> command = decoder.next(); command != null; command = decoder.next()) {
                addAttempt(command, writtenAt, attempts);
            }
        }
        return attempts;
    }

    private static void addAttempt(List<byte[]> command, long writtenAt, List<WrittenAttempt> attempts) {
        if (text(command.get(0)).equals("do")) {
            long timeLimitMillis = Long.parseLong(Resp.fields(text(command.get(2))).get("max"));
            attempts.add(new WrittenAttempt(text(command.get(1)), timeLimitMillis, writtenAt));
        }
    }

    private static String text(byte[] part) {
        return new String(part, StandardCharsets.UTF_8);
    }
}
