/** The node: its parts put together, started and stopped. */
package io.mustardusher.node;
