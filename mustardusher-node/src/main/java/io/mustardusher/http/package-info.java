/** HTTP/1.1 listeners on Netty's codec, for nodes that run many to a machine and start often. */
package io.mustardusher.http;
