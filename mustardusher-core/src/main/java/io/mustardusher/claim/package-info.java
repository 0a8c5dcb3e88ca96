/**
 * At-most-once execution of calls with idempotency keys. Each key has a home, which decides whether a call runs and
 * stores its result, and a witness in another failure domain, which records the claim before the call is dispatched.
 * The keepers of a service are agreed on in numbered epochs, stored in one row of the platform's table. The reasoning
 * why this suffices is in {@code docs/design/at-most-once.md}.
 */
package io.mustardusher.claim;
