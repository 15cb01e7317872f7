package reloadsignal

import "C" // for ignore.c
