/** Routes: which service a request goes to, and what a caller may expect of it. */
package io.mustardusher.route;
