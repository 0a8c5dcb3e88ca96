/** Routes from requests to services, with their time limits, and the limits on requests. */
package io.mustardusher.route;
