package io.mustardusher.store;

/**
 * Row of a table.
 *
 * @param key     key of the row
 * @param version number of the commit that wrote the row; increases with each write and is never reused, even
 *     after a deletion
 * @param value   value of the row, as JSON
 */
public record Row(String key, long version, String value) {}
