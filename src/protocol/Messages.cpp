// Anchors the protocol library until the first message with code of its own moves in.
#include "protocol/Envelope.h"
