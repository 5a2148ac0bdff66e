// Command goldcreststack runs the roles of the cluster scheduler and the
// operators' commands.
package main
