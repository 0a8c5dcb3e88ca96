/** Main classes of the node: assembly of its components, start, shutdown and settings. */
package io.mustardusher.node;
