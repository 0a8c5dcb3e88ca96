/** Which nodes there are: gossip records, their precedence, suspicion and refutation. */
package io.mustardusher.membership;
