package syscallfault

import "golang.org/x/sys/unix"

// nativeArch identifies this machine's architecture in a filter's input.
const nativeArch = unix.AUDIT_ARCH_AARCH64
