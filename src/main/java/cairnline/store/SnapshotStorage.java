package cairnline.store;

import java.io.IOException;
import java.util.List;

/** The few things that snapshots ask of a folder; a test's disk fails where it likes. Names are of files in it. */
interface SnapshotStorage {
    /** All that it holds; nothing if there is no such folder. */
    List<String> names() throws IOException;

    /** The size of a file, in bytes. */
    long size(String name) throws IOException;

    /** A whole file. */
    byte[] read(String name) throws IOException;

    /** Takes the folder for this process alone, making it where it is missing; fails if another process has it. */
    void own() throws IOException;

    /** Writes a file from its start and waits until its bytes are on the disk. */
    void write(String name, byte[] bytes) throws IOException;

    /** Puts a file in another's place in one step. */
    void rename(String from, String to) throws IOException;

    /** Waits until names of before are on the disk. */
    void sync() throws IOException;

    /** Takes a file away, if it is there. */
    void delete(String name) throws IOException;
}
