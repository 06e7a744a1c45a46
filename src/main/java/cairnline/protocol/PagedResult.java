package cairnline.protocol;

import java.io.ByteArrayOutputStream;

/** The pages of one engine's answer, as they come; whole only with the last of them. */
public final class PagedResult {
    private final int pageBytes;
    private final int pagesMost;
    /** What has come of each page; null before the engine has told how many there are. */
    private byte[][] pages;
    private int missing;
    private int size;
    private long work;
    private double memory;

    /** Nothing has come; pages are at most {@code pageBytes} long, and there are at most {@code pagesMost}. */
    public PagedResult(int pageBytes, int pagesMost) {
        this.pageBytes = pageBytes;
        this.pagesMost = pagesMost;
    }

    /** Takes the number of pages and the figures from the first answer; false if a copy of it came before. */
    public boolean begin(EngineMessage first) {
        if (pages != null) {
            return false;
        }
        if (first.pages() < 1 || first.pages() > pagesMost) {
            throw new ProtocolException("an answer of " + first.pages() + " pages");
        }
        pages = new byte[first.pages()][];
        missing = pages.length;
        work = first.workMicros();
        memory = first.memory();
        return true;
    }

    /** Whether a page is still to come; throws if it was not asked for. */
    public boolean awaits(int page) {
        if (pages == null || page < 1 || page >= pages.length) {
            throw new ProtocolException("page " + page + " was not asked for");
        }
        return pages[page] == null;
    }

    /** Keeps a page; throws if it holds what are no rows. */
    public void put(int page, byte[] rows) {
        if (rows.length > pageBytes || !EngineMessage.isRows(rows)) {
            throw new ProtocolException("page " + page + " holds what are no rows");
        }
        pages[page] = rows;
        missing--;
        size += rows.length;
    }

    /** The commands that ask for all pages but the first, which has come. */
    public byte[] requests(String id) {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        for (int page = 1; page < pages.length; page++) {
            commands.writeBytes(Resp.stringArray("page", id, Integer.toString(page)));
        }
        return commands.toByteArray();
    }

    /** How many pages there are; 0 before that is known. */
    public int count() {
        return pages == null ? 0 : pages.length;
    }

    /** Whether all pages have come. */
    public boolean isComplete() {
        return pages != null && missing == 0;
    }

    /** How many bytes have come. */
    public int size() {
        return size;
    }

    /** All pages, in their order. */
    public byte[] whole() {
        ByteArrayOutputStream whole = new ByteArrayOutputStream(size);
        for (byte[] page : pages) {
            whole.writeBytes(page);
        }
        return whole.toByteArray();
    }

    /** The work that it took, in microseconds on one core; 0 if not told. */
    public long work() {
        return work;
    }

    /** The memory that it took, in megabytes; 0 if not told. */
    public double memory() {
        return memory;
    }
}
