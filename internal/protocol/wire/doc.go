// Package wire holds the code that the FlatBuffers compiler generates for the frames
// between controllers, from mesh.fbs.
package wire
