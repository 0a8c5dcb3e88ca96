/** Decision whether a failed call is retried. */
package io.mustardusher.retry;
