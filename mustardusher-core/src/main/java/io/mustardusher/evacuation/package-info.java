/** The operator's orders to evacuate failure domains, and their replication between nodes. */
package io.mustardusher.evacuation;
