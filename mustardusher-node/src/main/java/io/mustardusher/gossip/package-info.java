/** Gossip between nodes: membership, peer discovery, and replication of the catalogue, routes and suspects. */
package io.mustardusher.gossip;
