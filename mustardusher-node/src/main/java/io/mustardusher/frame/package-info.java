/** Messages between nodes: length-prefixed TCP frames of MessagePack. */
package io.mustardusher.frame;
