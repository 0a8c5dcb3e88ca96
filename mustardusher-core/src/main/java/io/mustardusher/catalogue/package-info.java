/** The catalogue: its entries, their revisions, and how copies of it are merged. */
package io.mustardusher.catalogue;
