/**
 * Keepers of idempotency keys: their groups, stored in the table service, and the exchange of the messages of the claim
 * protocol between nodes.
 */
package io.mustardusher.keys;
