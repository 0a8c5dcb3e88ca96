/**
 * Limits on the requests of client accounts over all nodes: shares of the limits that nodes delegate to coordinators,
 * and the tokens that coordinators grant to entries.
 */
package io.mustardusher.allowance;
