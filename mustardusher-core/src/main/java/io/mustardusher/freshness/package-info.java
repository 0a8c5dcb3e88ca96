/** Proof that the configuration in force was the newest a short time ago, so that revoked keys are refused in time. */
package io.mustardusher.freshness;
