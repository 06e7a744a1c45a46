package cairnline.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** Stores the files in a folder of the file system. */
final class FileSystemStorage implements SnapshotStorage {
    private static final String LOCK_FILE = "lock";

    private final Path folder;
    private FileChannel lockFile;
    private FileLock lock;

    FileSystemStorage(Path folder) {
        this.folder = folder;
    }

    @Override
    public List<String> listFiles() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).toList();
        } catch (NoSuchFileException e) {
            return List.of();
        }
    }

    @Override
    public long size(String name) throws IOException {
        return Files.size(folder.resolve(name));
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    /** The lock file is never deleted: if each of two processes created its own, both would hold the lock. */
    @Override
    public void acquireLock() throws IOException {
        if (lock != null && lock.isValid() && Files.isRegularFile(folder.resolve(LOCK_FILE))) {
            return;
        }
        Files.createDirectories(folder);
        if (lockFile != null) {
            lockFile.close();
        }
        lockFile = FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            lockFile.close();
            throw new IOException("another workload manager holds the lock of the snapshot folder " + folder);
        }
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        try (FileChannel file = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                file.write(buffer);
            }
            file.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void sync() throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }
}
