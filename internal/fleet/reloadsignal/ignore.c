#include <signal.h>

// ignore_hangup runs before the Go runtime starts. It is the first constructor of the program.
__attribute__((constructor(101))) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
