/** Calls in transit: their headers, the responses to callers, and exchanges with the next hop. */
package io.mustardusher.call;
