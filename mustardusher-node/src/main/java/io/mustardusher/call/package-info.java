/** Calls as they travel: headers, answers, and exchanges with the next hop. */
package io.mustardusher.call;
