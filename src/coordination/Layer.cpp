// Keeps the library non-empty while subsystems are headers only.
#include "state/Time.h"
