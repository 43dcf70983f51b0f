/* Faults under the sockets of one process, by a seeded plan: LD_PRELOAD for tests, never part of the program.
 *
 * The plan is in FAULTS, as NAME=VALUE pairs separated by commas. Ratios are from 0 to 1.
 *
 *   seed=N        of the draws
 *   short=R       a receive or send of a stream takes a part of its bytes
 *   again=R       a receive or send fails with EAGAIN
 *   interrupt=R   a receive, send, accept or wait fails with EINTR
 *   accept=R      an accept fails with one of the errors that its manual page names
 *   open=R        a new socket or a connect fails
 *   clock_ms=N    the wall clock is ahead by so much (behind if negative)
 *   step_ms=N, step_after_ms=N   and steps by so much at that time after the start
 *
 * Nothing here depends on the processor: it calls the next definition of each function.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>

enum ratio { SHORT, AGAIN, INTERRUPT, ACCEPT, OPEN, RATIO_COUNT };

static double ratios[RATIO_COUNT];
static int64_t clock_ms, step_ms, step_after_ms;
static struct timespec started;
static uint64_t state = 1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

#define NEXT(name) ((__typeof__(name) *)dlsym(RTLD_NEXT, #name))

static double draw(void)
{
    pthread_mutex_lock(&lock);
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    uint64_t value = state;
    pthread_mutex_unlock(&lock);
    return (double)(value >> 11) / 9007199254740992.0;
}

static int comes(enum ratio which)
{
    return ratios[which] > 0 && draw() < ratios[which];
}

static double read_value(const char *plan, const char *name, double usual)
{
    size_t length = strlen(name);
    for (const char *at = plan; at != NULL && *at; at = strchr(at, ','), at = at ? at + 1 : NULL)
        if (strncmp(at, name, length) == 0 && at[length] == '=')
            return atof(at + length + 1);
    return usual;
}

__attribute__((constructor)) static void read_plan(void)
{
    static const char *const names[RATIO_COUNT] = {"short", "again", "interrupt", "accept", "open"};
    const char *plan = getenv("FAULTS");
    if (plan == NULL)
        return;
    for (int i = 0; i < RATIO_COUNT; i++)
        ratios[i] = read_value(plan, names[i], 0);
    state = (uint64_t)read_value(plan, "seed", 1) * 2654435761u + 88172645463325252u;
    clock_ms = (int64_t)read_value(plan, "clock_ms", 0);
    step_ms = (int64_t)read_value(plan, "step_ms", 0);
    step_after_ms = (int64_t)read_value(plan, "step_after_ms", 0);
    NEXT(clock_gettime)(CLOCK_MONOTONIC, &started);
}

static int fail(int error)
{
    errno = error;
    return -1;
}

/* The bytes that a transfer may take, or -1 with errno set. */
static ssize_t limit(size_t size)
{
    if (comes(INTERRUPT))
        return fail(EINTR);
    if (comes(AGAIN))
        return fail(EAGAIN);
    if (size > 1 && comes(SHORT))
        return 1 + (ssize_t)(draw() * (double)(size - 1));
    return (ssize_t)size;
}

ssize_t recv(int fd, void *buffer, size_t size, int flags)
{
    ssize_t allowed = size ? limit(size) : 0;
    return allowed < 0 ? allowed : NEXT(recv)(fd, buffer, (size_t)allowed, flags);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags)
{
    ssize_t allowed = size ? limit(size) : 0;
    return allowed < 0 ? allowed : NEXT(send)(fd, buffer, (size_t)allowed, flags);
}

static int accept_fails(void)
{
    static const int errors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EINTR, EPERM};
    if (!comes(ACCEPT))
        return 0;
    errno = errors[(size_t)(draw() * (sizeof errors / sizeof *errors))];
    return 1;
}

int accept(int fd, struct sockaddr *address, socklen_t *length)
{
    return accept_fails() ? -1 : NEXT(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    return accept_fails() ? -1 : NEXT(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    if (domain == AF_INET && comes(OPEN))
        return fail(errors[(size_t)(draw() * (sizeof errors / sizeof *errors))]);
    return NEXT(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    static const int errors[] = {ECONNREFUSED, EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EAGAIN};
    if (address->sa_family == AF_INET && comes(OPEN))
        return fail(errors[(size_t)(draw() * (sizeof errors / sizeof *errors))]);
    return NEXT(connect)(fd, address, length);
}

int epoll_pwait(int fd, struct epoll_event *events, int count, int timeout, const sigset_t *mask)
{
    return comes(INTERRUPT) ? fail(EINTR) : NEXT(epoll_pwait)(fd, events, count, timeout, mask);
}

static int64_t wall_shift_ms(void)
{
    struct timespec now;
    NEXT(clock_gettime)(CLOCK_MONOTONIC, &now);
    int64_t age_ms = (now.tv_sec - started.tv_sec) * 1000 + (now.tv_nsec - started.tv_nsec) / 1000000;
    return clock_ms + (step_ms && age_ms >= step_after_ms ? step_ms : 0);
}

int clock_gettime(clockid_t clock, struct timespec *at)
{
    int result = NEXT(clock_gettime)(clock, at);
    if (result == 0 && clock == CLOCK_REALTIME) {
        int64_t shift = wall_shift_ms();
        at->tv_sec += shift / 1000;
        at->tv_nsec += shift % 1000 * 1000000;
        if (at->tv_nsec < 0)
            at->tv_sec--, at->tv_nsec += 1000000000;
        if (at->tv_nsec >= 1000000000)
            at->tv_sec++, at->tv_nsec -= 1000000000;
    }
    return result;
}
