/*
 * Library that the fault soak preloads into a workload manager.
 *
 * It records what the process writes to outgoing connections in the file named by TRAFFIC_FILE, with the time at which the
 * system had taken it: the stand-ins of the soak may be scheduled much later.
 *
 * If FAULT_SEED, the seed of the random numbers, is set, it also injects faults: system calls on sockets fail or transfer fewer
 * bytes, in ways that Linux documents, and the wall clock is stepped forward and back by an hour. FAULT_AFTER_MS is the delay in
 * milliseconds from process start to the first fault, so that the virtual machine starts undisturbed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_DESCRIPTORS 4096
#define CLOCK_PHASE_SECONDS 2
#define CLOCK_STEP_SECONDS 3600

enum { OTHER, ACCEPTED, CONNECTED };

static atomic_uchar socket_kinds[MAX_DESCRIPTORS];
static atomic_uint connection_numbers[MAX_DESCRIPTORS];
static atomic_uint connection_count;
static atomic_ullong random_state;
static int64_t faults_start_ms;
static int traffic_file = -1;

/* Head of a record of the traffic file, in the byte order of the machine; the written bytes follow it. */
struct traffic_record {
    int64_t written_at_ns; /* CLOCK_MONOTONIC */
    uint32_t connection_number;
    uint32_t byte_count;
};

static int (*real_clock_gettime)(clockid_t, struct timespec *);

#define REAL(name) ((__typeof__(&name)) resolve_real(#name))

static void *resolve_real(const char *name) { return dlsym(RTLD_NEXT, name); }

static int64_t monotonic_ns(void) {
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000LL + now.tv_nsec;
}

static int64_t monotonic_ms(void) { return monotonic_ns() / 1000000; }

__attribute__((constructor)) static void initialize(void) {
    real_clock_gettime = REAL(clock_gettime);
    const char *seed = getenv("FAULT_SEED");
    const char *fault_delay = getenv("FAULT_AFTER_MS");
    random_state = seed ? strtoull(seed, NULL, 10) * 2654435761ULL + 1 : 1;
    faults_start_ms = seed ? monotonic_ms() + (fault_delay ? atoll(fault_delay) : 0) : INT64_MAX;
    const char *traffic_path = getenv("TRAFFIC_FILE");
    if (traffic_path) {
        traffic_file = open(traffic_path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
    }
}

/* Returns a pseudo-random number from 0 to bound - 1 (SplitMix64). */
static unsigned random_below(unsigned bound) {
    uint64_t x = atomic_fetch_add(&random_state, 0x9E3779B97F4A7C15ULL);
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
    return (unsigned) ((x ^ (x >> 31)) % bound);
}

static int faults_active(void) { return real_clock_gettime && monotonic_ms() >= faults_start_ms; }

/* Fails one call in one_in: sets errno to one of the errors and returns 1; otherwise returns 0. */
static int inject_error(unsigned one_in, const int *errors, unsigned count) {
    if (!faults_active() || random_below(one_in) != 0) {
        return 0;
    }
    errno = errors[random_below(count)];
    return 1;
}

/* Returns whether a descriptor is an accepted or an outgoing connection; OTHER for any other descriptor. */
static int socket_kind(int fd) { return fd >= 0 && fd < MAX_DESCRIPTORS ? socket_kinds[fd] : OTHER; }

static int set_socket_kind(int fd, int kind) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS) {
        socket_kinds[fd] = kind;
    }
    return fd;
}

static const int accept_errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO};
static const int socket_errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
static const int connect_errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ETIMEDOUT, EHOSTUNREACH};
static const int connection_errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
static const int interrupt_errors[] = {EINTR};

#define ARRAY_LENGTH(list) (sizeof(list) / sizeof((list)[0]))

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    if (inject_error(10, accept_errors, ARRAY_LENGTH(accept_errors))) {
        return -1;
    }
    return set_socket_kind(REAL(accept)(fd, address, length), ACCEPTED);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (inject_error(10, accept_errors, ARRAY_LENGTH(accept_errors))) {
        return -1;
    }
    return set_socket_kind(REAL(accept4)(fd, address, length, flags), ACCEPTED);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && inject_error(20, socket_errors, ARRAY_LENGTH(socket_errors))) {
        return -1;
    }
    return set_socket_kind(REAL(socket)(domain, type, protocol), OTHER);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (inject_error(20, connect_errors, ARRAY_LENGTH(connect_errors))) {
        return -1;
    }
    set_socket_kind(fd, CONNECTED);
    if (fd >= 0 && fd < MAX_DESCRIPTORS) {
        connection_numbers[fd] = ++connection_count;
    }
    return REAL(connect)(fd, address, length);
}

int close(int fd) {
    set_socket_kind(fd, OTHER);
    return REAL(close)(fd);
}

/*
 * Returns 1, with errno set, if a call on a socket shall fail: with EINTR, which is transient, or, on an outgoing connection,
 * with an error that ends the connection. Otherwise returns 0 and may reduce the number of bytes to transfer.
 */
static int inject_io_fault(int fd, size_t *count) {
    int kind = socket_kind(fd);
    if (kind == OTHER || !faults_active()) {
        return 0;
    }
    if (inject_error(50, interrupt_errors, 1) || (kind == CONNECTED
            && inject_error(300, connection_errors, ARRAY_LENGTH(connection_errors)))) {
        return 1;
    }
    if (*count > 1 && random_below(5) == 0) {
        *count = 1 + random_below(*count > 64 ? 64 : (unsigned) *count);
    }
    return 0;
}

ssize_t read(int fd, void *bytes, size_t count) {
    return inject_io_fault(fd, &count) ? -1 : REAL(read)(fd, bytes, count);
}

/* Records bytes that the system has taken for an outgoing connection. Returns written, as write does. */
static ssize_t record_traffic(int fd, const void *bytes, ssize_t written) {
    if (written > 0 && traffic_file >= 0 && socket_kind(fd) == CONNECTED) {
        struct traffic_record record = {monotonic_ns(), connection_numbers[fd], (uint32_t) written};
        struct iovec parts[] = {{&record, sizeof(record)}, {(void *) bytes, (size_t) written}};
        if (REAL(writev)(traffic_file, parts, 2) != (ssize_t) sizeof(record) + written) {
            abort();
        }
    }
    return written;
}

ssize_t write(int fd, const void *bytes, size_t count) {
    return inject_io_fault(fd, &count) ? -1 : record_traffic(fd, bytes, REAL(write)(fd, bytes, count));
}

ssize_t recv(int fd, void *bytes, size_t count, int flags) {
    return inject_io_fault(fd, &count) ? -1 : REAL(recv)(fd, bytes, count, flags);
}

ssize_t send(int fd, const void *bytes, size_t count, int flags) {
    return inject_io_fault(fd, &count) ? -1 : record_traffic(fd, bytes, REAL(send)(fd, bytes, count, flags));
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    return inject_error(50, interrupt_errors, 1) ? -1 : REAL(epoll_wait)(fd, events, max_events, timeout);
}

/* Cycles through three phases: an hour ahead, correct, an hour behind. */
static int64_t clock_offset_seconds(void) {
    return faults_active() ? ((monotonic_ms() - faults_start_ms) / 1000 / CLOCK_PHASE_SECONDS % 3 - 1) * -CLOCK_STEP_SECONDS : 0;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    if (!real_clock_gettime) {
        real_clock_gettime = REAL(clock_gettime);
    }
    int result = real_clock_gettime(clock, time);
    if (clock == CLOCK_REALTIME && result == 0) {
        time->tv_sec += clock_offset_seconds();
    }
    return result;
}
