/** The entry: accepts callers' requests and routes each to a gate that can answer it before its deadline. */
package io.mustardusher.entry;
