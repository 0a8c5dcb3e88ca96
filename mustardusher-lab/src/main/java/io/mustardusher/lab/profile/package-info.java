/** Processor time, wake-ups and memory of nodes that are configured by routes. */
package io.mustardusher.lab.profile;
