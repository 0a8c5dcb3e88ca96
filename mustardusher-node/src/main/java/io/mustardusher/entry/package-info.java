/** The entry: takes callers' requests and brings each to a gate that can answer it in time. */
package io.mustardusher.entry;
