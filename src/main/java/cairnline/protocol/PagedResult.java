package cairnline.protocol;

import java.io.ByteArrayOutputStream;

/** Collects the pages of one engine's result, in whatever order they arrive. Not thread-safe. */
public final class PagedResult {
    private final int maxPageBytes;
    private final int maxPages;
    /** Pages received so far, by number; null until the first message has given their count. */
    private byte[][] pages;
    private int missingPages;
    private int sizeBytes;
    private long workMicros;
    private double memory;

    /** Creates an empty result that rejects larger pages and results of more than {@code maxPages} pages. */
    public PagedResult(int maxPageBytes, int maxPages) {
        this.maxPageBytes = maxPageBytes;
        this.maxPages = maxPages;
    }

    /** Takes page count, work and memory from the first message; returns false if it is a duplicate. */
    public boolean start(EngineMessage first) {
        if (pages != null) {
            return false;
        }
        if (first.pageCount() < 1 || first.pageCount() > maxPages) {
            throw new ProtocolException("an answer of " + first.pageCount() + " pages");
        }
        pages = new byte[first.pageCount()][];
        missingPages = pages.length;
        workMicros = first.workMicros();
        memory = first.memory();
        return true;
    }

    /** Returns whether a page has not been received yet; throws {@link ProtocolException} if it was not requested. */
    public boolean isMissing(int page) {
        if (pages == null || page < 1 || page >= pages.length) {
            throw new ProtocolException("page " + page + " was not asked for");
        }
        return pages[page] == null;
    }

    /** Stores a page; throws {@link ProtocolException} if it is too large or its rows are malformed. */
    public void put(int page, byte[] rows) {
        if (rows.length > maxPageBytes || !EngineMessage.isRows(rows)) {
            throw new ProtocolException("page " + page + " holds what are no rows");
        }
        pages[page] = rows;
        missingPages--;
        sizeBytes += rows.length;
    }

    /** Encodes the commands that request all pages but the first, which arrives with the first message. */
    public byte[] pageRequests(String id) {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        for (int page = 1; page < pages.length; page++) {
            commands.writeBytes(Resp.stringArray("page", id, Integer.toString(page)));
        }
        return commands.toByteArray();
    }

    /** Returns the number of pages, 0 until it is known. */
    public int count() {
        return pages == null ? 0 : pages.length;
    }

    /** Returns whether all pages have been received. */
    public boolean isComplete() {
        return pages != null && missingPages == 0;
    }

    /** Returns the number of bytes received. */
    public int size() {
        return sizeBytes;
    }

    /** Returns the concatenated pages of a complete result. */
    public byte[] join() {
        ByteArrayOutputStream joined = new ByteArrayOutputStream(sizeBytes);
        for (byte[] page : pages) {
            joined.writeBytes(page);
        }
        return joined.toByteArray();
    }

    /** Returns the work that the query took in microseconds on one core, 0 if it was not reported. */
    public long work() {
        return workMicros;
    }

    /** Returns the memory that the query used in megabytes, 0 if it was not reported. */
    public double memory() {
        return memory;
    }
}
