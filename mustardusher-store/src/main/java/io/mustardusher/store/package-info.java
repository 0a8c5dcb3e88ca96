/** Interface to the platform's transactional table service, and the catalogue that the nodes store in it. */
package io.mustardusher.store;
