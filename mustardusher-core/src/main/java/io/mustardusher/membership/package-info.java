/** Cluster membership by gossip: member records, their precedence, suspicion and refutation. */
package io.mustardusher.membership;
