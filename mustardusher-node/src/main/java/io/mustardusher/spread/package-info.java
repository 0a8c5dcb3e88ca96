/** What nodes tell each other unasked: members, catalogue revisions and suspects. */
package io.mustardusher.spread;
