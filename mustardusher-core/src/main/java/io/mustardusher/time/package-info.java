/** Time as the rest of the code sees it, so that tests can stop and advance it. */
package io.mustardusher.time;
