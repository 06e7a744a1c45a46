package cairnline.store;

import java.io.IOException;
import java.util.List;

/** The file operations of {@link SnapshotFolder}, replaced by tests to inject failures. Names are of files in one folder. */
interface SnapshotStorage {
    /** Returns the names of all files, or an empty list if the folder does not exist. */
    List<String> listFiles() throws IOException;

    /** Returns the size of a file in bytes. */
    long size(String name) throws IOException;

    /** Reads a file completely. */
    byte[] read(String name) throws IOException;

    /** Creates the folder if it is missing and locks it for this process; fails if another process holds the lock. */
    void acquireLock() throws IOException;

    /** Creates or replaces a file and waits until its content is on disk. */
    void write(String name, byte[] bytes) throws IOException;

    /** Renames a file atomically, replacing the target. */
    void rename(String from, String to) throws IOException;

    /** Waits until preceding renames are on disk. */
    void sync() throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;
}
