/** Idempotency keys between nodes: who keeps them, and the messages of the claim protocol. */
package io.mustardusher.keys;
