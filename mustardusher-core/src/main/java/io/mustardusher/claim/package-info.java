/**
 * At most one run for each idempotency key. A key has a home, which decides and remembers, and a witness in another
 * failure domain, which records the claim before anything is dispatched. Which nodes keep keys is agreed epoch by epoch
 * through one row of the platform's table. The argument stands in {@code docs/design/at-most-once.md}.
 */
package io.mustardusher.claim;
