/*
 * A library for LD_PRELOAD that plays an environment which is not under the control of the process: threads
 * from before main(), system calls that are refused, clocks of another pace. environment_faults.py builds it
 * and sets its variables:
 *
 *   FAULT_THREADS=N             N threads that only wait, with no signal blocked
 *   FAULT_REFUSED=NAME,NAME     calls that fail with ENOSYS; see is_refused() for the names
 *   FAULT_TCP_INFO_AGE_MS=N     the age of the last data that TCP_INFO tells
 *   FAULT_CLOCK_RATE=X          the pace of the clocks, as a part of the real one
 *   FAULT_HOLD_MS=N             some waits end this much later, while the clocks stand
 *   FAULT_ACCEPT_PERIOD=N       every Nth accept() fails, with each documented error in turn
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/file.h>
#include <sys/ioctl.h>
#include <sys/sendfile.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <termios.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_S 1000000000LL
#define NS_PER_MS 1000000LL
#define HOLD_PERIOD 5 /* of the waits, one in so many is held up */

static double clock_rate = 1.0;
static long hold_ms;
static long accept_period;
static long tcp_info_age_ms = -1;
static const char *refused = "";
static long long origin_monotonic_ns;
static long long origin_realtime_ns;
static atomic_llong held_ns; /* time for which the clocks stood */
static atomic_long wait_count;
static atomic_long accept_count;

/* Declares `call`, the function of that name which this library stands in for. */
#define REAL(name)                                  \
    static __typeof__(&name) call;                  \
    if (call == NULL)                               \
    call = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

/* Returns whether the list of refused calls has this name. */
static bool is_refused(const char *name) {
    size_t length = strlen(name);
    for (const char *at = refused; (at = strstr(at, name)) != NULL; at += length)
        if ((at == refused || at[-1] == ',') && (at[length] == ',' || at[length] == '\0'))
            return true;
    return false;
}

static int refuse(void) {
    errno = ENOSYS;
    return -1;
}

static long variable(const char *name, long otherwise) {
    const char *value = getenv(name);
    return value == NULL ? otherwise : atol(value);
}

static long long kernel_ns(clockid_t clock) {
    REAL(clock_gettime);
    struct timespec now;
    call(clock, &now);
    return now.tv_sec * NS_PER_S + now.tv_nsec;
}

static void *wait_forever(void *unused) {
    for (;;)
        pause();
    return unused;
}

__attribute__((constructor)) static void configure(void) {
    origin_monotonic_ns = kernel_ns(CLOCK_MONOTONIC);
    origin_realtime_ns = kernel_ns(CLOCK_REALTIME);
    if (getenv("FAULT_CLOCK_RATE") != NULL)
        clock_rate = atof(getenv("FAULT_CLOCK_RATE"));
    if (getenv("FAULT_REFUSED") != NULL)
        refused = getenv("FAULT_REFUSED");
    hold_ms = variable("FAULT_HOLD_MS", 0);
    accept_period = variable("FAULT_ACCEPT_PERIOD", 0);
    tcp_info_age_ms = variable("FAULT_TCP_INFO_AGE_MS", -1);
    for (long number = variable("FAULT_THREADS", 0); number > 0; number--) {
        pthread_t thread;
        if (pthread_create(&thread, NULL, wait_forever, NULL) == 0)
            pthread_detach(thread);
    }
}

/* Clocks and waits */

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    bool is_realtime = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
    bool is_monotonic = clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_COARSE ||
                        clock == CLOCK_MONOTONIC_RAW || clock == CLOCK_BOOTTIME;
    if (!is_realtime && !is_monotonic)
        return call(clock, now);
    long long elapsed_ns = kernel_ns(CLOCK_MONOTONIC) - origin_monotonic_ns - atomic_load(&held_ns);
    long long origin_ns = is_realtime ? origin_realtime_ns : origin_monotonic_ns;
    long long shown_ns = origin_ns + (long long)((double)elapsed_ns * clock_rate);
    now->tv_sec = shown_ns / NS_PER_S;
    now->tv_nsec = shown_ns % NS_PER_S;
    return 0;
}

static int kernel_timeout_ms(int timeout_ms) {
    return timeout_ms <= 0 ? timeout_ms : (int)((double)timeout_ms / clock_rate + 0.999);
}

/* Holds the process up for a time that its clocks do not show. */
static void hold(void) {
    if (hold_ms <= 0 || atomic_fetch_add(&wait_count, 1) % HOLD_PERIOD != 0)
        return;
    struct timespec duration = {hold_ms / 1000, hold_ms % 1000 * NS_PER_MS};
    long long began_ns = kernel_ns(CLOCK_MONOTONIC);
    nanosleep(&duration, NULL);
    atomic_fetch_add(&held_ns, kernel_ns(CLOCK_MONOTONIC) - began_ns);
}

int epoll_pwait(int epoll, struct epoll_event *events, int count, int timeout_ms, const sigset_t *mask) {
    REAL(epoll_pwait);
    int ready = call(epoll, events, count, kernel_timeout_ms(timeout_ms), mask);
    int error = errno;
    hold();
    errno = error;
    return ready;
}

int epoll_wait(int epoll, struct epoll_event *events, int count, int timeout_ms) {
    return epoll_pwait(epoll, events, count, timeout_ms, NULL);
}

/* Signals */

int sigtimedwait(const sigset_t *set, siginfo_t *info, const struct timespec *timeout) {
    REAL(sigtimedwait);
    return is_refused("sigtimedwait") ? refuse() : call(set, info, timeout);
}

int pthread_sigmask(int how, const sigset_t *set, sigset_t *old) {
    REAL(pthread_sigmask);
    return is_refused("pthread_sigmask") ? ENOSYS : call(how, set, old);
}

int sigaction(int number, const struct sigaction *action, struct sigaction *old) {
    REAL(sigaction);
    return action != NULL && is_refused("sigaction") ? refuse() : call(number, action, old);
}

/* Sockets */

int getsockopt(int descriptor, int level, int option, void *value, socklen_t *length) {
    REAL(getsockopt);
    bool is_tcp_info = level == IPPROTO_TCP && option == TCP_INFO;
    if (is_tcp_info && is_refused("tcp_info"))
        return refuse();
    int result = call(descriptor, level, option, value, length);
    size_t end = offsetof(struct tcp_info, tcpi_last_data_recv) + sizeof(unsigned int);
    if (result == 0 && is_tcp_info && tcp_info_age_ms >= 0 && *length >= end)
        ((struct tcp_info *)value)->tcpi_last_data_recv = (unsigned int)tcp_info_age_ms;
    return result;
}

int setsockopt(int descriptor, int level, int option, const void *value, socklen_t length) {
    REAL(setsockopt);
    bool is_buffer = level == SOL_SOCKET && (option == SO_SNDBUF || option == SO_RCVBUF);
    return is_buffer && is_refused("socket_buffers") ? refuse() : call(descriptor, level, option, value, length);
}

int ioctl(int descriptor, unsigned long request, ...) {
    REAL(ioctl);
    va_list arguments;
    va_start(arguments, request);
    void *argument = va_arg(arguments, void *);
    va_end(arguments);
    if ((request == TIOCOUTQ && is_refused("tiocoutq")) || (request == FIONREAD && is_refused("fionread")))
        return refuse();
    return call(descriptor, request, argument);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout_ms) {
    REAL(poll);
    return is_refused("poll") ? refuse() : call(descriptors, count, kernel_timeout_ms(timeout_ms));
}

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags) {
    static const int ERRORS[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS,      ENOMEM,     EPERM,      EPROTO,
                                 EINTR,        ENETDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH};
    REAL(accept4);
    long number = accept_period > 0 ? atomic_fetch_add(&accept_count, 1) : 0;
    if (accept_period > 0 && number % accept_period == accept_period - 1) {
        errno = ERRORS[(number / accept_period) % (long)(sizeof ERRORS / sizeof *ERRORS)];
        return -1;
    }
    return call(listener, address, length, flags);
}

int accept(int listener, struct sockaddr *address, socklen_t *length) {
    return accept4(listener, address, length, 0);
}

/* Files and processes */

int open(const char *path, int flags, ...) {
    REAL(open);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    return strncmp(path, "/proc/", 6) == 0 && is_refused("proc") ? refuse() : call(path, flags, mode);
}

int open64(const char *path, int flags, ...) __attribute__((alias("open")));

int posix_fallocate(int descriptor, off_t offset, off_t length) {
    REAL(posix_fallocate);
    return is_refused("fallocate") ? ENOSYS : call(descriptor, offset, length);
}

int posix_fallocate64(int descriptor, off64_t offset, off64_t length) __attribute__((alias("posix_fallocate")));

int flock(int descriptor, int operation) {
    REAL(flock);
    return is_refused("flock") ? refuse() : call(descriptor, operation);
}

ssize_t sendfile(int output, int input, off_t *offset, size_t count) {
    REAL(sendfile);
    return is_refused("sendfile") ? refuse() : call(output, input, offset, count);
}

ssize_t sendfile64(int output, int input, off64_t *offset, size_t count) __attribute__((alias("sendfile")));

ssize_t splice(int input, off64_t *input_at, int output, off64_t *output_at, size_t count, unsigned int flags) {
    REAL(splice);
    if (is_refused("splice")) {
        errno = EINVAL;
        return -1;
    }
    return call(input, input_at, output, output_at, count, flags);
}

pid_t fork(void) {
    REAL(fork);
    return is_refused("fork") ? refuse() : call();
}

long syscall(long number, ...) {
    REAL(syscall);
    bool is_io_uring = number == SYS_io_uring_setup || number == SYS_io_uring_enter || number == SYS_io_uring_register;
    va_list arguments;
    va_start(arguments, number);
    long values[6];
    for (int at = 0; at < 6; at++)
        values[at] = va_arg(arguments, long);
    va_end(arguments);
    if (is_io_uring && is_refused("io_uring"))
        return refuse();
    return call(number, values[0], values[1], values[2], values[3], values[4], values[5]);
}
