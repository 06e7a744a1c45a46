/*
 * Preloaded into a workload manager by the fault soak: system calls on sockets fail or are cut short in ways that Linux
 * documents, and the wall clock is stepped by an hour, forward and back. FAULT_SEED names the draw, FAULT_AFTER_MS how long
 * after its start the faults begin, so that the virtual machine comes up undisturbed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MOST_DESCRIPTORS 4096
#define CLOCK_PERIOD_S 2
#define CLOCK_STEP_S 3600

enum { OTHER, ACCEPTED, CONNECTED };

static atomic_uchar kinds[MOST_DESCRIPTORS];
static atomic_ullong state;
static int64_t begins_ms;

static int (*real_clock_gettime)(clockid_t, struct timespec *);

#define REAL(name) ((__typeof__(&name)) real(#name))

static void *real(const char *name) { return dlsym(RTLD_NEXT, name); }

static int64_t monotonic_ms(void) {
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

__attribute__((constructor)) static void begin(void) {
    real_clock_gettime = REAL(clock_gettime);
    const char *seed = getenv("FAULT_SEED");
    const char *after = getenv("FAULT_AFTER_MS");
    state = seed ? strtoull(seed, NULL, 10) * 2654435761ULL + 1 : 1;
    begins_ms = monotonic_ms() + (after ? atoll(after) : 0);
}

static unsigned draw(unsigned below) {
    uint64_t x = atomic_fetch_add(&state, 0x9E3779B97F4A7C15ULL);
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
    return (unsigned) ((x ^ (x >> 31)) % below);
}

static int active(void) { return real_clock_gettime && monotonic_ms() >= begins_ms; }

static int fails(unsigned one_in, const int *errors, unsigned count) {
    if (!active() || draw(one_in) != 0) {
        return 0;
    }
    errno = errors[draw(count)];
    return 1;
}

static int kind(int fd) { return fd >= 0 && fd < MOST_DESCRIPTORS ? kinds[fd] : OTHER; }

static int remember(int fd, int what) {
    if (fd >= 0 && fd < MOST_DESCRIPTORS) {
        kinds[fd] = what;
    }
    return fd;
}

static const int accept_errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO};
static const int socket_errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
static const int connect_errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ETIMEDOUT, EHOSTUNREACH};
static const int broken_errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
static const int interrupted[] = {EINTR};

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    if (fails(10, accept_errors, COUNT(accept_errors))) {
        return -1;
    }
    return remember(REAL(accept)(fd, address, length), ACCEPTED);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (fails(10, accept_errors, COUNT(accept_errors))) {
        return -1;
    }
    return remember(REAL(accept4)(fd, address, length, flags), ACCEPTED);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && fails(20, socket_errors, COUNT(socket_errors))) {
        return -1;
    }
    return remember(REAL(socket)(domain, type, protocol), OTHER);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (fails(20, connect_errors, COUNT(connect_errors))) {
        return -1;
    }
    remember(fd, CONNECTED);
    return REAL(connect)(fd, address, length);
}

int close(int fd) {
    remember(fd, OTHER);
    return REAL(close)(fd);
}

/* A call on a socket fails for a moment or, to an engine, for good; else gives how many bytes it may move. */
static int spoilt(int fd, size_t *count) {
    int what = kind(fd);
    if (what == OTHER || !active()) {
        return 0;
    }
    if (fails(50, interrupted, 1) || (what == CONNECTED && fails(300, broken_errors, COUNT(broken_errors)))) {
        return 1;
    }
    if (*count > 1 && draw(5) == 0) {
        *count = 1 + draw(*count > 64 ? 64 : (unsigned) *count);
    }
    return 0;
}

ssize_t read(int fd, void *bytes, size_t count) {
    return spoilt(fd, &count) ? -1 : REAL(read)(fd, bytes, count);
}

ssize_t write(int fd, const void *bytes, size_t count) {
    return spoilt(fd, &count) ? -1 : REAL(write)(fd, bytes, count);
}

ssize_t recv(int fd, void *bytes, size_t count, int flags) {
    return spoilt(fd, &count) ? -1 : REAL(recv)(fd, bytes, count, flags);
}

ssize_t send(int fd, const void *bytes, size_t count, int flags) {
    return spoilt(fd, &count) ? -1 : REAL(send)(fd, bytes, count, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    return fails(50, interrupted, 1) ? -1 : REAL(epoll_wait)(fd, events, most, timeout);
}

/* Forward an hour, right, back an hour, and again. */
static int64_t stepped(void) {
    return active() ? ((monotonic_ms() - begins_ms) / 1000 / CLOCK_PERIOD_S % 3 - 1) * -CLOCK_STEP_S : 0;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    if (!real_clock_gettime) {
        real_clock_gettime = REAL(clock_gettime);
    }
    int result = real_clock_gettime(clock, time);
    if (clock == CLOCK_REALTIME && result == 0) {
        time->tv_sec += stepped();
    }
    return result;
}
