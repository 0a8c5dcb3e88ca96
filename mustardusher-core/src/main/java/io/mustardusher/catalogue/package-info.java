/** The service catalogue, its entries and revisions, and the merging of its copies. */
package io.mustardusher.catalogue;
